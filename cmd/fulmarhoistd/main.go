// Command fulmarhoistd is an entry instance: it takes requests from callers and
// sends them to targets.
package main

func main() {}
