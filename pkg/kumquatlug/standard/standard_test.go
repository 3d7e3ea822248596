package standard_test

import (
	"fmt"

	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug/standard"
)

func Example() {
	fmt.Println(standard.Int(0, 64), standard.Int(-1, 64), standard.Int(7, 64))
	fmt.Println(standard.Int64(0, 64), standard.Int64(-1, 64), standard.Int64(7, 64))
	fmt.Println(standard.Float(0, 0.9), standard.Float(-1, 0.9), standard.Float(0.5, 0.9))
	fmt.Println(standard.Millis(0, kumquatlug.Second), standard.Millis(-1, kumquatlug.Second), standard.Millis(7, kumquatlug.Second))
	// Output:
	// 64 64 7
	// 64 64 7
	// 0.9 0.9 0.5
	// 1000 1000 7
}
