local f(n) = f(n + 1) tailstrict; { version: f(0) }
