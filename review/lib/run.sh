# Sourced by each case's run.sh.
command -v python3 >/dev/null || { echo "cannot run: no python3"; exit 2; }
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 case.py record.txt
