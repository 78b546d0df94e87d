"""Settings in INI files and their validated models."""
