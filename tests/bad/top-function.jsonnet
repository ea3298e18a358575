function(x) { version: 1 }
