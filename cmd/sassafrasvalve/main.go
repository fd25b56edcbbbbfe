// Command sassafrasvalve runs an entry and drives the fleet.
package main

import "fmt"

func main() { fmt.Println("sassafrasvalve") }
