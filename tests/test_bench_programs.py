"""Every measurement program can be imported."""

import importlib
import pkgutil

import pytest

import bench


@pytest.mark.parametrize("name", [module.name for module in pkgutil.iter_modules(bench.__path__)])
def test_program_can_be_imported(name):
    assert importlib.import_module(f"bench.{name}").__doc__
