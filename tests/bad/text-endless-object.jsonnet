local o = { next: self.next }; { version: o.next }
