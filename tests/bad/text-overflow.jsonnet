{ version: 1e400 }
