#!/usr/bin/env python3
"""Writes docs/reference/ from the doc comments of the headers.

Each class, struct, enumeration and free function of a header gets a section
on the header's page. With --check the tool writes nothing and fails when a
page is missing, outdated or no longer belongs to a header.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUT = ROOT / "docs" / "reference"
TYPE = re.compile(r"^(template <.*>\s*)?(class|struct|enum class) (\w+)")
FUNCTION = re.compile(r"^(inline |constexpr |static )*auto (\w+)\(")
CONSTANT = re.compile(r"^inline constexpr .*\bk\w+")
ACCESS = re.compile(r"^ (public|protected|private):")


def declaration_of(lines, start):
    """Returns the declaration that begins at `start`, without its body."""
    text = ""
    for line in lines[start:start + 12]:
        text += (" " if text else "") + line.strip()
        for stop in ("{", ";"):
            if stop in line:
                text = text[:text.index(stop)].strip()
                # Leave out the member initializers of a constructor.
                return re.sub(r"\) : \w+_?[({].*", ")", text)
    return text


def members_of(lines, start, is_public):
    """Yields (comment, declaration) of the public members of a type."""
    comment = []
    skip_to = 0
    for index in range(start, len(lines)):
        line = lines[index]
        if line.startswith("};"):
            return
        access = ACCESS.match(line)
        if access:
            is_public = access.group(1) == "public"
            comment = []
            continue
        if not is_public or index < skip_to:
            continue
        if line.startswith("  // "):
            comment.append(line[5:])
            continue
        if re.match(r"^  [A-Za-z\[~]", line):
            declaration = declaration_of(lines, index)
            length = 1
            while (
                index + length < len(lines)
                and lines[index + length].startswith("   ")
            ):
                length += 1
            skip_to = index + length
            if not re.match(r"(return|using enum|friend)", declaration):
                yield " ".join(comment), declaration
        comment = []


def enumerators_of(lines, start):
    """Yields a list item for each enumerator, with its comment."""
    notes = []
    for line in lines[start:]:
        if "};" in line:
            return
        match = re.match(r"^  (k\w+),?\s*(?://\s*(.*))?$", line)
        if match:
            note = " ".join(notes + [match.group(2) or ""]).strip()
            yield f"- `{match.group(1)}`" + (f" — {note}" if note else "")
            notes = []
        elif line.startswith("  // "):
            notes.append(line[5:])


def sections_of(lines):
    comment = []
    for index, line in enumerate(lines):
        if line.startswith("// "):
            comment.append(line[3:])
            continue
        if line.strip() == "//":
            comment.append("")
            continue
        if line.startswith("template <") and "EnumNames" not in line:
            continue
        kind = TYPE.match(line)
        is_plain = FUNCTION.match(line) or CONSTANT.match(line)
        if kind and not line.rstrip().endswith(";") and "EnumNames" not in line:
            text = [f"## {kind.group(2)} `{kind.group(3)}`", ""]
            if comment:
                text += ["\n".join(comment), ""]
            public = kind.group(2) == "struct"
            if kind.group(2) == "enum class":
                one_line = re.search(r"\{ (.*) \}", line)
                text += (
                    [f"- `{name}`" for name in one_line.group(1).split(", ")]
                    if one_line
                    else enumerators_of(lines, index + 1)
                )
            elif "{}" not in line:
                for note, member in members_of(lines, index + 1, public):
                    entry = f"- `{member}`"
                    text.append(f"{entry} — {note}" if note else entry)
            yield "\n".join(text).rstrip() + "\n"
        elif is_plain:
            text = [f"## `{declaration_of(lines, index)}`", ""]
            if comment:
                text += ["\n".join(comment), ""]
            yield "\n".join(text).rstrip() + "\n"
        comment = []


def pages():
    """Returns the expected content of each page by its path."""
    wanted = {}
    index = ["# Reference", "",
             "Written by `tools/generate_reference.py` from the headers.", ""]
    for header in sorted((ROOT / "src").rglob("*.h")):
        name = header.relative_to(ROOT / "src")
        sections = list(sections_of(header.read_text().splitlines()))
        if not sections:
            continue
        page = OUT / name.with_suffix(".md")
        wanted[page] = f"# {name}\n\n" + "\n".join(sections)
        index.append(f"- [{name}]({name.with_suffix('.md')})")
    wanted[OUT / "README.md"] = "\n".join(index) + "\n"
    return wanted


def main():
    wanted = pages()
    existing = set(OUT.rglob("*.md")) if OUT.exists() else set()
    stale = [
        path for path, text in wanted.items()
        if not path.exists() or path.read_text() != text
    ] + sorted(existing - set(wanted))
    if "--check" in sys.argv:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is not up to date; "
                  "run tools/generate_reference.py")
        return 1 if stale else 0
    for path in existing - set(wanted):
        path.unlink()
    for path, text in wanted.items():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    print(f"{len(wanted)} pages")
    return 0


if __name__ == "__main__":
    sys.exit(main())
