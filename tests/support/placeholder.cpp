// Kept until the first support source lands; the library needs one file.
