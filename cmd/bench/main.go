// Command bench is part of shallotring.
package main

func main() {}
