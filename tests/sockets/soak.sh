# Runs the real program under random faults, for one seed.  To run another by hand: build/soak
# PROGRAM SECONDS SEED.  Seeds that failed once, with their cause:
#   11, 25  the proxy in the soak test blocked on a VM that was stopped
#   115     a check mistook refusals for lack of upstreams for refusals of a removed route
#   118     the proxy blocked until the store, which runs in the same process, accepted
#   2015    a VM resumed while its path to the store was still cut counted as stable 4 s later
#           (violation CONFIG: it could not know of a removed route); three more runs passed
"$1/soak" "$1/cyclamenferry" 12 11
