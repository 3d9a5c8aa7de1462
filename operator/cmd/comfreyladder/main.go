// Command comfreyladder is the operators' command.
package main

import (
	"fmt"
	"net"
)

func main() { fmt.Println(net.IPv4(127, 0, 0, 1)) }
