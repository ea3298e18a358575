{ version: 1, x: std.repeat('0123456789', 1e9) }
