// Command standin is part of shallotring.
package main

func main() {}
