package ident

import "fmt"

func ExampleIncarnation() {
	one, two := NewIncarnation("10.0.0.1:7300"), NewIncarnation("10.0.0.1:7300")
	fmt.Println(one.Addr(), one == two, len(one.Boot()))
	// Output: 10.0.0.1:7300 false 16
}
