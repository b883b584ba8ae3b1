package main

// The import links the program to the C library of the system, as the users' hosts
// require.

import "C"
