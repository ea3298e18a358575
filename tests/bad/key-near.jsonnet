{ version: 1, defualt: {} }
