// Package overload decides which requests give way while there is too little room for all of them.
package overload
