{ version: 1, version: 1 }
