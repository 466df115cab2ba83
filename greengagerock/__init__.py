"""An HTTP router for services whose endpoints own their keys exclusively."""
