package main

// Importing C links the program against the system's C library, as the users' hosts
// require.

import "C"
