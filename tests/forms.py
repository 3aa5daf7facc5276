"""Forms of the console, as a browser reads them."""
import html
import re


def fields(page):
    """The inputs of the last form of a page, as a browser would send them."""
    form = page[page.rindex("<form"):]
    values = {}
    for tag in re.findall(r"<input ([^>]*)>", form):
        names = dict(re.findall(r'(\w+)="([^"]*)"', tag))
        if names.get("type") != "checkbox" or "checked" in tag:
            values[names["name"]] = html.unescape(names.get("value", ""))
    for name, text in re.findall(
            r'<textarea name="([^"]+)"[^>]*>(.*?)</textarea>', form, re.S):
        values[name] = html.unescape(text)
    for name, options in re.findall(
            r'<select name="([^"]+)"[^>]*>(.*?)</select>', form, re.S):
        values[name] = re.search(r"<option selected>([^<]*)",
                                 options).group(1)
    return values
