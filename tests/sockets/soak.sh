# The real program under random faults, for one seed.  By hand: build/soak PROGRAM SECONDS
# SEED.  Seeds that failed once, with their cause:
#   11, 25  the soak's own proxy waited for a VM that was stopped
"$1/soak" "$1/cyclamenferry" 12 11
