"""Declare and print the configuration of a gooseberrydeal deployment."""

from gooseberrydeal._internal.declarations.deployment import Deployment
from gooseberrydeal._internal.declarations.key_hash import key_hash
from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.operation import Operation

__all__ = ["DeclarationError", "Deployment", "Operation", "key_hash"]
