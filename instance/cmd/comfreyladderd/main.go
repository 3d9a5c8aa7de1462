// Command comfreyladderd is the daemon of an entry instance.
package main

import (
	"fmt"
	"net"
)

func main() { fmt.Println(net.IPv4(127, 0, 0, 1)) }
