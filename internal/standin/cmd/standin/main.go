// Command standin runs stand-ins for the systems around the product: targets,
// the log service, the instance list, and a TCP relay that injects faults.
package main

func main() {}
