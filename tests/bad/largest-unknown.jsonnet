{ version: 1, largest: { movies: '1MB' } }
