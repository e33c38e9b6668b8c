"""Configuration status of all zones, asked from a host with all plug-ins."""

from scenarios._world import World


def test_any_host_tells_the_status_of_each_zone() -> None:
    """Guards against a status plug-in that does not work with the other plug-ins."""
    world = World(3)
    for zone in ('coyhaique', 'cochrane'):
        for number in range(3):
            world.add_host(f'{zone}-{number}', zone)
    world.time.run_until(3)
    assert world.execute('create service api at 192.0.2.1:443').exit_code == 0
    world.time.run_until(80)
    content = world.execute('show config').content
    statuses = [content['own_zone'], *content['other_zones']]
    assert {row['zone'] for row in statuses} == {'coyhaique', 'cochrane'}
    assert [(row['hosts'], row['up_to_date']) for row in statuses] == [(3, 3)] * 2
    assert all(list(row['generations'].values()) == [1] for row in statuses)
