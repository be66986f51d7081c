"""One instance process: application, leader link, HTTP interface and replica."""
