"""The shape of the code: what the decisions may import."""

import ast
import pathlib

PACKAGE = pathlib.Path(__file__).parent.parent

# Modules that turn decisions into bytes or bytes into calls, and the programs.
EDGES = {
    "__main__",
    "admin",
    "codecs",
    "commands",
    "daemons",
    "explanations",
    "logs",
    "exchanges",
    "forwarders",
    "frontends",
    "listeners",
    "peer_codecs",
    "peer_connections",
    "peers",
    "settings",
    "stores",
    "wsgi_messages",
    "gateway/gossip_codecs",
    "gateway/daemons",
    "gateway/documents",
    "gateway/frontends",
    "gateway/transports",
}
FORBIDDEN = {"eventlet", "http", "json", "socket", "ssl", "thrift", "urllib3"}
# Decisions about tickets compare digests, which are made from the encoded form.
MAY_USE_CODECS = {"tickets"}


def imported(path):
    """Return the first parts and the names of everything a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
            names.update(alias.name for alias in node.names)
    return names


def decisions():
    """Yield the modules that decide, of the package and of the gateway."""
    for pattern in ("*.py", "gateway/*.py"):
        for path in PACKAGE.glob(pattern):
            name = path.relative_to(PACKAGE).with_suffix("").as_posix()
            if name not in EDGES:
                yield path


def test_decisions_import_no_encoder_and_no_socket():
    for path in decisions():
        names = imported(path)
        assert not names & FORBIDDEN, f"{path.name} imports {names & FORBIDDEN}"
        if path.stem not in MAY_USE_CODECS:
            assert not names & {"codecs", "peer_codecs"}, path.name


def test_kernel_knows_no_service():
    names = imported(PACKAGE / "kernel.py")
    modules = {path.stem for path in PACKAGE.glob("*.py")} | {"trefoilpin"}
    assert not names & modules


def test_no_inheritance_of_our_own():
    allowed = {"NamedTuple", "TypedDict", "Enum"}
    for path in PACKAGE.glob("**/*.py"):
        if "thrift_gen" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                bases = {ast.unparse(base) for base in node.bases}
                assert bases <= allowed, f"{path.name}: {node.name}"


def test_every_module_declares_what_it_exports():
    for pattern in ("*.py", "gateway/[a-z]*.py"):
        for path in PACKAGE.glob(pattern):
            assert "__all__" in path.read_text(), path.name


def test_only_the_adapter_knows_the_platform():
    for path in PACKAGE.glob("**/*.py"):
        names = imported(path)
        assert not any(name.startswith("platform_") for name in names), path.name
