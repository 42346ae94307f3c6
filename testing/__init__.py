"""The test suite; its folders mirror the package's."""
