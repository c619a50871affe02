# Run the case in the folder of the calling script; its arguments are passed on.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
PYTHONPATH="$root/review/stand_ins_3" PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
exec python3 "$here/case.py"
