"""Descriptions of message types as JSON, from which the decoder of another build is rebuilt.

A description keeps what decides how MessagePack is decoded: tags, encoded names, the order of
fields, types and defaults. ``rebuild`` turns it into types of which msgspec makes the same decoder
as the described build has.
"""

import types
from typing import Any, Literal, Union

import msgspec
from msgspec import inspect

# Types without parameters, by the class with which msgspec describes them.
_PLAIN_TYPES = {
    inspect.AnyType: Any,
    inspect.BoolType: bool,
    inspect.BytesType: bytes,
    inspect.FloatType: float,
    inspect.IntType: int,
    inspect.NoneType: None,
    inspect.StrType: str,
}
_NAMES_OF_PLAIN_TYPES = {kind: kind.__name__ for kind in _PLAIN_TYPES}
_PLAIN_TYPES_BY_NAME = {kind.__name__: plain for kind, plain in _PLAIN_TYPES.items()}


def describe(message_type, structs):
    """Return the description of a type as a value for JSON.

    Args:
        message_type: A type that msgspec decodes.
        structs: Descriptions of structs by name, to which those that the type uses are added.

    Raises:
        TypeError: If the type uses a kind of types that messages did not use before.

    Examples:
        >>> describe(dict[str, int | None], {})
        ['dict', ['StrType'], ['union', ['IntType'], ['NoneType']]]
    """
    return _describe_node(inspect.type_info(message_type), structs)


def _describe_node(node, structs):
    match node:
        case inspect.StructType():
            return ["struct", _describe_struct(node, structs)]
        case inspect.UnionType(types=members):
            return ["union", *(_describe_node(member, structs) for member in members)]
        case inspect.DictType(key_type=key, value_type=value):
            return ["dict", _describe_node(key, structs), _describe_node(value, structs)]
        case inspect.VarTupleType(item_type=item):
            return ["tuples", _describe_node(item, structs)]
        case inspect.TupleType(item_types=items):
            return ["tuple", *(_describe_node(item, structs) for item in items)]
        case inspect.ListType(item_type=item):
            return ["list", _describe_node(item, structs)]
        case inspect.FrozenSetType(item_type=item):
            return ["frozenset", _describe_node(item, structs)]
        case inspect.LiteralType(values=values):
            return ["literal", *values]
    if isinstance(node, inspect.CustomType) and node.cls is object:
        return [_NAMES_OF_PLAIN_TYPES[inspect.AnyType]]
    if type(node) not in _NAMES_OF_PLAIN_TYPES:
        raise TypeError(f"no description of {node!r}")
    return [_NAMES_OF_PLAIN_TYPES[type(node)]]


def _describe_struct(node, structs):
    """Add the description of a struct and return its name."""
    name = f"{node.cls.__module__}.{node.cls.__qualname__}"
    if name not in structs:
        fields = [
            {"name": field.name, "encoded": field.encode_name, "required": field.required}
            | ({} if field.required else {"default": _default_of(field)})
            | {"type": _describe_node(field.type, structs)}
            for field in node.fields
        ]
        structs[name] = {"tag": node.tag, "array": node.array_like, "fields": fields}
    return name


def _default_of(field):
    if field.default_factory is not msgspec.NODEFAULT:
        return msgspec.to_builtins(field.default_factory())
    return msgspec.to_builtins(field.default)


class TypeRebuilder:
    """Rebuilds the types of another build from their descriptions.

    Args:
        structs: Descriptions of structs by name.

    Attributes:
        rebuilt: Rebuilt structs by name.

    Examples:
        >>> class Ping(msgspec.Struct, tag="ping"):
        ...     number: int
        >>> structs = {}
        >>> description = describe(Ping, structs)
        >>> rebuilt = TypeRebuilder(structs).rebuild(description)
        >>> msgspec.msgpack.decode(msgspec.msgpack.encode(Ping(7)), type=rebuilt).number
        7
    """

    __slots__ = ("rebuilt", "structs")

    def __init__(self, structs):
        self.structs = structs
        self.rebuilt = {}

    def rebuild(self, description):
        """Return the type with a description."""
        kind, *parts = description
        if kind == "struct":
            return self._rebuild_struct(parts[0])
        if kind == "literal":
            return Literal[tuple(parts)]
        if kind in _PLAIN_TYPES_BY_NAME:
            return _PLAIN_TYPES_BY_NAME[kind]
        inner = tuple(self.rebuild(part) for part in parts)
        match kind:
            case "union":
                return Union[inner]  # noqa: UP007
            case "dict":
                return dict[inner]
            case "tuples":
                return types.GenericAlias(tuple, (*inner, ...))
            case "tuple":
                return types.GenericAlias(tuple, inner)
            case "list":
                return list[inner]
            case "frozenset":
                return frozenset[inner]
        raise TypeError(f"unknown description {description!r}")

    def _rebuild_struct(self, name):
        if name not in self.rebuilt:
            struct = self.structs[name]
            self.rebuilt[name] = msgspec.defstruct(
                name.rpartition(".")[2],
                [self._rebuild_field(field) for field in struct["fields"]],
                tag=struct["tag"],
                array_like=struct["array"],
                frozen=True,
            )
        return self.rebuilt[name]

    def _rebuild_field(self, field):
        field_type = self.rebuild(field["type"])
        if field["required"]:
            return field["name"], field_type, msgspec.field(name=field["encoded"])
        default = msgspec.convert(field["default"], field_type)
        if isinstance(default, dict | list):
            default = msgspec.field(default_factory=default.copy, name=field["encoded"])
        else:
            default = msgspec.field(default=default, name=field["encoded"])
        return field["name"], field_type, default
