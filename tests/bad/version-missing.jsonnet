{ routes: [] }
