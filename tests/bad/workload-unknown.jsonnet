{ version: 1, workloads: { movies: { relays: 2 } } }
