local f(n) = 1 + f(n + 1); { version: f(0) }
