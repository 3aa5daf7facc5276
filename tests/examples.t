#!/bin/sh
# All example files pass the check command, and each faulty file is refused
# with all its faults in one report.  Also tests the configuration reference,
# the explain command, and the usage and help texts.
program=${MIMOSAPATH:-build/mimosapath}
cd "$(dirname "$0")/.." || exit 1
number=0
failed=0
report() {
    number=$((number + 1))
    if [ "$1" = 0 ]; then
        echo "ok $number - $2"
    else
        echo "not ok $number - $2"
        failed=1
    fi
}
for file in examples/*.document.json examples/*/document.json; do
    "$program" check --document "$file" >/dev/null
    report $? "$file"
done
for file in examples/one-instance.json examples/plumeau/moka-*.json \
    examples/zawadzki/pl-*.json; do
    "$program" check --settings "$file" >/dev/null
    report $? "$file"
done
for file in tests/faulty/*.json; do
    kind=--document
    case "$file" in *settings*) kind=--settings ;; esac
    if "$program" check $kind "$file" 2>/tmp/faulty.$$ >/dev/null; then
        report 1 "$file is refused"
        continue
    fi
    diff "${file%.json}.expected" /tmp/faulty.$$ | sed 's/^/# /'
    cmp -s "${file%.json}.expected" /tmp/faulty.$$
    report $? "$file"
done
rm -f /tmp/faulty.$$
program_text=$("$program" check --describe)
case "$(cat docs/CONFIGURATION.md)" in
*"$program_text") report 0 "docs/CONFIGURATION.md is what the program prints" ;;
*) report 1 "docs/CONFIGURATION.md is what the program prints" ;;
esac
while read -r id; do
    "$program" explain "$id" tests/explain/a-1.log tests/explain/b-1.log \
        >/tmp/explain.$$ 2>&1
    echo "exit $?" >>/tmp/explain.$$
    diff "tests/explain/$id.expected" /tmp/explain.$$ | sed 's/^/# /'
    cmp -s "tests/explain/$id.expected" /tmp/explain.$$
    report $? "explain $id"
done <tests/explain/commands
rm -f /tmp/explain.$$
for words in "run" "run --settings" "check --nonsense" "nonsense" "topup" "explain" "explain id"; do
    # shellcheck disable=SC2086
    "$program" $words >/dev/null 2>&1
    [ $? = 2 ]
    report $? "usage: $words"
done
for command in run check status workspace topup document ledger drain \
    target load explain; do
    "$program" $command --help | grep -q usage &&
        "$program" $command --version | grep -q '^mimosapath'
    report $? "help of $command"
done
echo "1..$number"
exit $failed
