{ version: 1, x: std.foldl(function(a, b) a + a, std.range(1, 40), 'xxxxxxxx') }
