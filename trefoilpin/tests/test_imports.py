"""Rules on the structure of the code: imports, base classes and exports."""

import ast
import pathlib

PACKAGE = pathlib.Path(__file__).parent.parent

# Modules that encode messages or perform input and output, and the programs.
ADAPTERS = {
    "body_readers",
    "chunk_decoders",
    "caller_progress",
    "__main__",
    "admin",
    "codecs",
    "commands",
    "connections",
    "daemons",
    "explanations",
    "logs",
    "exchanges",
    "forwarders",
    "frontends",
    "health_probes",
    "listeners",
    "peer_codecs",
    "peer_connections",
    "peers",
    "request_inputs",
    "response_streams",
    "settings",
    "stores",
    "strict_reads",
    "strict_responses",
    "wsgi_messages",
    "gateway/fleet/gossip_codecs",
    "gateway/fleet/rollout_codecs",
    "gateway/daemons",
    "gateway/store/documents",
    "gateway/requests/frontends",
    "gateway/fleet/transports",
}
# Packages of the gateway, each of which may import those before it.
GATEWAY_PACKAGES = (
    "store",
    "admission",
    "balancing",
    "rollouts",
    "fleet",
    "requests",
)
FORBIDDEN_IMPORTS = {"eventlet", "http", "json", "socket", "ssl", "thrift", "urllib3"}
# Tickets are compared by digest, which is computed from their encoded form.
MODULES_WITH_CODECS = {"tickets"}


def imported_names(path):
    """Return the top-level packages and the names that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
            names.update(alias.name for alias in node.names)
    return names


def decision_modules():
    """Yield the paths of modules with decisions, in the package and the gateway."""
    for pattern in ("*.py", "gateway/**/*.py"):
        for path in PACKAGE.glob(pattern):
            name = path.relative_to(PACKAGE).with_suffix("").as_posix()
            if name not in ADAPTERS:
                yield path


def test_decision_modules_import_no_encoding_or_networking():
    for path in decision_modules():
        names = imported_names(path)
        assert (
            not names & FORBIDDEN_IMPORTS
        ), f"{path.name} imports {names & FORBIDDEN_IMPORTS}"
        if path.stem not in MODULES_WITH_CODECS:
            assert not names & {"codecs", "peer_codecs"}, path.name


def test_kernel_imports_no_service():
    names = imported_names(PACKAGE / "kernel.py")
    modules = {path.stem for path in PACKAGE.glob("*.py")} | {"trefoilpin"}
    assert not names & modules


def test_classes_inherit_only_from_allowed_bases():
    allowed = {"NamedTuple", "TypedDict", "Enum"}
    for path in PACKAGE.glob("**/*.py"):
        if "thrift_gen" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                bases = {ast.unparse(base) for base in node.bases}
                assert bases <= allowed, f"{path.name}: {node.name}"


def test_every_module_declares_its_exports():
    for pattern in ("*.py", "gateway/**/[a-z]*.py"):
        for path in PACKAGE.glob(pattern):
            assert "__all__" in path.read_text(), path.name


def test_package_does_not_import_the_platform():
    for path in PACKAGE.glob("**/*.py"):
        names = imported_names(path)
        assert not any(name.startswith("platform_") for name in names), path.name


def imported_gateway_packages(path):
    """Return the packages and modules of the gateway from which a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        parts = node.module.split(".")
        if parts[:2] != ["trefoilpin", "gateway"]:
            continue
        found.update(parts[2:3] or (alias.name for alias in node.names))
    return found


def test_imports_between_gateway_packages_run_one_way():
    """Guards against packages that can only be understood and tested together."""
    packages = {path.parent.name for path in PACKAGE.glob("gateway/*/__init__.py")}
    assert packages == set(GATEWAY_PACKAGES)
    for position, package in enumerate(GATEWAY_PACKAGES):
        allowed = {*GATEWAY_PACKAGES[: position + 1], "loops"}
        for path in PACKAGE.glob(f"gateway/{package}/*.py"):
            imported = imported_gateway_packages(path)
            assert imported <= allowed, f"{package}/{path.name}: {imported - allowed}"


def test_no_event_is_defined_twice():
    """Guards against an event that replaces another one of the same name."""
    tree = ast.parse((PACKAGE / "events.py").read_text())
    names = []
    for node in tree.body:
        if isinstance(node, ast.Assign):
            names.extend(target.id for target in node.targets)
    assert len(names) == len(set(names))
