"""Compares the pages on settings, commands and catalogue with the code."""

import pathlib
import re
import typing

import attrs
import ddt
import typer

from sycamorebeam import catalogue
from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import settings
from sycamorebeam.cli import main
from tests import base

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
ROW = re.compile(r'^\| `([a-z0-9_.]+)` \| `?(.*?)`? \| (.*?) \|', re.MULTILINE)


def table(page):
    """Return the rows of a page: key, default and allowed values."""
    text = (DOCS / page).read_text()
    return [row.groups() for row in ROW.finditer(text)]


def setting_rows(cls, path=''):
    """Yield the key, default and allowed values of each setting."""
    hints = typing.get_type_hints(cls)
    for field in attrs.fields(cls):
        hint = hints[field.name]
        if attrs.has(hint):
            yield from setting_rows(hint, f'{path}{field.name}.')
            continue
        rule = settings.SCHEMA.rules.get(cls, {}).get(field.name)
        yield (
            f'{path}{field.name}',
            show_default(field),
            checking.describe_rule(rule)
            if rule
            else 'a text of 1 to 1000 characters',
        )


def show_default(field):
    match field.default:
        case attrs.NOTHING:
            return 'required'
        case None:
            return 'null'
        case bool():
            return str(field.default).lower()
        case ():
            return '[]'
        case catalogue.Weighting():
            return field.default.value
        case _:
            return str(field.default)


@ddt.ddt
class PagesTest(base.TestCase):
    def test_settings_page_has_every_setting(self):
        rows = table('SETTINGS.md')
        expected = list(setting_rows(settings.Settings))
        self.assertEqual(
            sorted(key for key, _, _ in expected),
            sorted(key for key, _, _ in rows),
        )
        documented = {
            key: (default, allowed) for key, default, allowed in rows
        }
        for key, default, allowed in expected:
            self.assertEqual(default, documented[key][0], key)
            self.assertTrue(documented[key][1].startswith(allowed), key)

    def test_commands_page_has_every_command(self):
        text = (DOCS / 'COMMANDS.md').read_text()
        command = typer.main.get_command(main.app)
        for name, subcommand in command.commands.items():
            for leaf in getattr(subcommand, 'commands', None) or [None]:
                shown = f'{name} {leaf}' if leaf else name
                self.assertRegex(text, rf'\| `{shown}[ `]')

    def test_catalogue_page_has_every_key(self):
        rows = {(key, default) for key, default, _ in table('CATALOGUE.md')}
        classes = (*catalogue.KINDS.values(), catalogue.Stage)
        expected = {
            (entries.SCHEMA.key_of(field.name), show_default(field))
            for cls in classes
            for field in attrs.fields(cls)
        }
        self.assertEqual(expected, rows)
