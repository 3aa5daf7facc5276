"""Reads the forms of console pages as a browser does."""
import html
import re


def fields(page):
    """Returns the fields that a browser would send for the last form of a
    page."""
    form = page[page.rindex("<form"):]
    values = {}
    for tag in re.findall(r"<input ([^>]*)>", form):
        attributes = dict(re.findall(r'(\w+)="([^"]*)"', tag))
        if attributes.get("type") != "checkbox" or "checked" in tag:
            values[attributes["name"]] = html.unescape(
                attributes.get("value", ""))
    for name, text in re.findall(
            r'<textarea name="([^"]+)"[^>]*>(.*?)</textarea>', form, re.S):
        values[name] = html.unescape(text)
    for name, options in re.findall(
            r'<select name="([^"]+)"[^>]*>(.*?)</select>', form, re.S):
        values[name] = re.search(r"<option selected>([^<]*)",
                                 options).group(1)
    return values
