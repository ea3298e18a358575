{ version: 2 }
