// Command soak is part of shallotring.
package main

func main() {}
