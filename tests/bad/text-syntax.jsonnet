{ version: 1, routes: [ }
