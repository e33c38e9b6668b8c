"""Stand-ins for the systems that the load balancer works with.

Callers, upstreams, the fabric and the platform. They implement as much of
each system as tests, demonstrations and measurements need on one machine,
and faults can be switched on while they run.
"""
