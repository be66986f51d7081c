"""One running instance: application, links, HTTP and replica shells."""
