// Command fulmarhoistctl is the tool for operators and callers.
package main

func main() {}
