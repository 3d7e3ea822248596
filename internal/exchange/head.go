package exchange

// Limits of the head of a response, which is its status line and its headers.
const (
	// MaxHeadBytes is the size of a head above which a response is broken. Workers send less than 1 KB.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines is the same for the number of lines: a short line takes ten times its size in memory.
	MaxHeadLines = 1000
)
