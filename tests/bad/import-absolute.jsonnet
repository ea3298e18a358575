local x = importstr '/etc/hostname'; { version: 1, x: x }
