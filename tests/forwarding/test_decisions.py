"""Tests of forwarding decisions that need no network and no store."""

import ddt

from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import rates
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import routing
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from tests import base
from tests.forwarding import build


@ddt.ddt
class RoutingTest(base.TestCase):
    @ddt.data(
        ('h.example', '/p/x', 'short'),
        ('h.example', '/p/q/x', 'long'),
        ('H.Example', '/p/q/x?a=/p/', 'long'),
        ('h.example', '/p', None),
        ('h.example', '/x?y=/p/', None),
        ('other.example', '/p/x', None),
    )
    @ddt.unpack
    def test_the_longest_prefix_of_the_host_wins(self, host, path, expected):
        desired = build.desired(
            routes=[
                build.route(name='short', path_prefix='/p/'),
                build.route(name='long', path_prefix='/p/q/'),
            ]
        )
        route = routing.RouteTable(desired).find(host, path)
        self.assertEqual(expected, route and route.name)

    def test_requests_are_split_by_weight(self):
        route = build.route(
            split=(
                model.WeightedService(service='a', weight=90),
                model.WeightedService(service='b', weight=10),
            )
        )
        picked = [routing.pick_service(route, f'id-{n}') for n in range(2000)]
        self.assertAlmostEqual(200, picked.count('b'), delta=60)
        self.assertEqual(
            routing.pick_service(route, 'id-1'),
            routing.pick_service(route, 'id-1'),
        )

    @ddt.data((1, False), (2, False), (3, True))
    @ddt.unpack
    def test_a_version_never_goes_back(self, version, is_newer):
        subject = active_state.ActiveState()
        subject.replace_if_newer(build.desired(version=2))
        replaced = subject.replace_if_newer(build.desired(version=version))
        self.assertEqual(is_newer, replaced)
        self.assertEqual(max(2, version), subject.desired.version)


@ddt.ddt
class FreshnessTest(base.TestCase):
    @ddt.data(
        (True, None, 0, False),
        (True, 1_000, 1_000, True),
        (True, 1_000, 1_000 + 4_599, True),
        (True, 1_000, 1_000 + 4_600, False),
        (False, None, 99_999, True),
    )
    @ddt.unpack
    def test_a_lease_is_valid_for_a_bounded_time(
        self, is_strict, began_ms, now_ms, is_valid
    ):
        lease = freshness.FreshnessLease(5_000, is_strict)
        if began_ms is not None:
            lease.renew(began_ms)
        self.assertEqual(is_valid, lease.is_valid(now_ms))

    def test_a_read_that_began_earlier_does_not_shorten_the_lease(self):
        lease = freshness.FreshnessLease(5_000, True)
        lease.renew(2_000)
        lease.renew(1_000)
        self.assertEqual(500, lease.age_ms(2_500))

    @ddt.data(
        ('a whole wait', 1_500, 1_505, 1_450),
        ('answered early', 1_500, 1_499, 0),
        ('no wait', 0, 5, 0),
        ('a late answer', 1_500, 4_000, 1_450),
    )
    @ddt.unpack
    def test_an_empty_read_confirms_the_state_until_its_wait_ended(
        self, _, waited_ms, ended_ms, expected_ms
    ):
        confirmed_ms = freshness.confirmed_as_of_ms(7, waited_ms, 7 + ended_ms)
        self.assertEqual(7 + expected_ms, confirmed_ms)


def entry(name, **fields):
    return target_directory.TargetEntry(name, build.target(name, **fields))


GONE = target_directory.TargetEntry('t1', None)


@ddt.ddt
class TargetDirectoryTest(base.TestCase):
    @ddt.data(
        ([], ['t1']),
        ([GONE], []),
        ([entry('t1', is_draining=True)], []),
        ([entry('t1', incarnation=0, is_draining=True)], ['t1']),
        ([GONE, entry('t1', incarnation=2)], ['t1']),
        ([entry('t2', service='other')], ['t1']),
        ([entry('t2')], ['t1', 't2']),
    )
    @ddt.unpack
    def test_entries_decide_which_targets_are_usable(self, changes, expected):
        subject = target_directory.TargetDirectory()
        subject.replace([entry('t1')], 0)
        subject.update(changes, 10)
        usable = [item.target_id for item in subject.usable('engine')]
        self.assertEqual(expected, sorted(usable))

    @ddt.data(
        ('no outage', None, 100, []),
        ('just recovered', 0, 100, ['t1']),
        ('recovered, in the grace period', 0, 1_999, ['t1']),
        ('recovered, after the grace period', 0, 2_000, []),
    )
    @ddt.unpack
    def test_lapsed_entries_are_kept_for_a_grace_period(
        self, _, recovered_ms, now_ms, expected
    ):
        subject = target_directory.TargetDirectory()
        subject.replace([entry('t1')], 0)
        if recovered_ms is not None:
            subject.record_store_recovery(recovered_ms)
        subject.replace([], 10)
        subject.expire(now_ms)
        usable = [item.target_id for item in subject.usable('engine')]
        self.assertEqual(expected, usable)

    def test_an_entry_that_is_written_again_is_kept(self):
        subject = target_directory.TargetDirectory()
        subject.replace([entry('t1')], 0)
        subject.record_store_recovery(0)
        subject.update([GONE], 10)
        subject.update([entry('t1')], 500)
        subject.expire(5_000)
        self.assertEqual(1, len(subject.usable('engine')))

    @ddt.data(
        (['1.2.3.4:5'], 'b1'),
        (['1.2.3.4:5', '1.2.3.4:6', '1.2.3.4:5'], 'b1'),
        (['1.2.3.4:6'], None),
        ([], None),
    )
    @ddt.unpack
    def test_the_zone_of_the_most_common_address_is_returned(
        self, addresses, expected
    ):
        subject = target_directory.TargetDirectory()
        subject.replace([entry('t1', zone='b1', address='1.2.3.4:5')], 0)
        self.assertEqual(expected, subject.most_common_zone(addresses))


@ddt.ddt
class RetryBudgetTest(base.TestCase):
    @ddt.data((1, 0), (1, 100), (3, 100), (9, 1_000))
    @ddt.unpack
    def test_all_instances_together_stay_within_the_budget(
        self, count, requests_per_window
    ):
        """All targets fail for 30 s, and each window stays in budget."""
        ratio, extra, window_ms = 0.2, 52, 10_000
        fleet = [
            retry_budget.RetryBudget(ratio, extra, window_ms)
            for _ in range(count)
        ]
        spent = []
        for now_ms in range(0, 30_000, 10):
            for subject in fleet:
                if (
                    requests_per_window
                    and now_ms % max(10, window_ms // requests_per_window) == 0
                ):
                    subject.count_request(now_ms)
                if subject.spend(now_ms, count):
                    spent.append(now_ms)
        spacing_ms = (
            max(10, window_ms // requests_per_window)
            if requests_per_window
            else 0
        )
        request_count = (
            count * window_ms / spacing_ms if requests_per_window else 0
        )
        for start_ms in range(0, 20_000, 500):
            retries = sum(start_ms <= at < start_ms + 10_000 for at in spent)
            self.assertLessEqual(retries, ratio * request_count + extra)

    def test_a_budget_is_refilled_after_its_window(self):
        subject = retry_budget.RetryBudget(0.0, 10.0, 1_000)
        allowed = [subject.spend(0, 1) for _ in range(10)]
        self.assertEqual(7, sum(allowed))
        self.assertTrue(subject.spend(1_001, 1))

    def test_the_remaining_budget_can_be_spent(self):
        budgets = retry_budget.RetryBudgets(0.5, 8.0, 1_000, lambda: 2)
        for _ in range(10):
            budgets.count_request('a', 0)
        # Half of the requests and of the allowance, less the margin.
        self.assertAlmostEqual(6.3, budgets.left(0)['a'])
        self.assertEqual(6, sum(budgets.spend('a', 0) for _ in range(20)))
        self.assertAlmostEqual(0.3, budgets.left(0)['a'])
        self.assertAlmostEqual(2.8, budgets.left(1_001)['a'])


@ddt.ddt
class TargetChooserTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.chooser = target_choice.TargetChooser('a1', build.ZONES)

    @ddt.data(
        ('nothing known', [], 'near'),
        ('near one slow', [('near', 'slow')], 'next'),
        ('near ones slow', [('near', 'slow'), ('next', 'slow')], 'far'),
        ('near one fails', [('near', 'fails')], 'next'),
        ('near one unreachable', [('near', 'unreachable')], 'next'),
        ('near one busy', [('near', 'busy')], 'next'),
    )
    @ddt.unpack
    def test_the_target_with_the_lowest_expected_cost_is_picked(
        self, _, observations, expected
    ):
        targets = [
            build.target('near', 'a1'),
            build.target('next', 'a2'),
            build.target('far', 'b1'),
        ]
        by_id = {target.target_id: target for target in targets}
        for name, observation in observations:
            stats = self.chooser.stats(by_id[name])
            match observation:
                case 'slow':
                    for _ in range(20):
                        stats.record_success(900, 100)
                case 'fails':
                    for _ in range(2):
                        stats.record_failure(100)
                case 'unreachable':
                    stats.record_unreachable(100)
                case 'busy':
                    stats.record_load(12, 100)
        picked = self.chooser.pick_service_target(targets, (), 100)
        self.assertEqual(expected, picked.target_id)

    def test_a_slow_target_is_tried_again(self):
        targets = [build.target('near', 'a1'), build.target('next', 'a2')]
        for _ in range(20):
            self.chooser.stats(targets[0]).record_success(900, 0)
        picked = self.chooser.pick_service_target(targets, (), 60_000)
        self.assertEqual('near', picked.target_id)

    def test_sessions_stick_to_an_engine_and_use_all(self):
        targets = [build.target(f't{n}', 'a1') for n in range(4)]
        picked = {}
        for n in range(200):
            part = requests.PromptPart(f's{n % 50}', 1_000)
            engine = self.chooser.pick_engine(targets, (), part, f'id{n}', 0)
            picked.setdefault(part.part_id, set()).add(engine.target_id)
        self.assertEqual({1}, {len(names) for names in picked.values()})
        used = set().union(*picked.values())
        self.assertEqual(4, len(used))

    @ddt.data((0, 't0'), (4, 't1'))
    @ddt.unpack
    def test_a_busy_engine_is_skipped(self, load, expected):
        targets = [build.target(f't{n}', 'a1') for n in range(2)]
        part = next(
            part
            for part in (requests.PromptPart(f's{n}', 1) for n in range(99))
            if self.chooser.pick_engine(targets, (), part, 'i', 0).target_id
            == 't0'
        )
        self.chooser.stats(targets[0]).record_load(load, 0)
        engine = self.chooser.pick_engine(targets, (), part, 'i', 0)
        self.assertEqual(expected, engine.target_id)

    def test_engines_of_the_own_region_are_preferred(self):
        far = build.target('far', 'b1')
        near = build.target('near', 'a2')
        picked = {
            self.chooser.pick_engine([far, near], (), None, f'i{n}', 0)
            for n in range(20)
        }
        self.assertEqual({near}, picked)
        only = self.chooser.pick_engine([far], (), None, 'i', 0)
        self.assertEqual(far, only)

    def test_a_new_incarnation_has_its_own_statistics(self):
        old = build.target('t', incarnation=1)
        self.chooser.stats(old).record_unreachable(0)
        new = build.target('t', incarnation=2)
        self.assertEqual(0.0, self.chooser.stats(new).failure_rate)
        self.chooser.keep_only([new], 0)
        self.assertEqual(0.0, self.chooser.stats(old).failure_rate)


instance = build.instance


@ddt.ddt
class MembershipTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.time = build.ManualClock(now_ms=100_000)

    def view(self, own, others):
        subject = membership.Membership(own, self.time)
        subject.replace([own, *others])
        return subject

    def test_all_instances_agree_on_an_owner(self):
        entries = [instance(f'i{n}') for n in range(6)]
        for service in ('s1', 's2', 's3'):
            owners = {
                self.view(own, entries).owners(service)[0] for own in entries
            }
            self.assertEqual(1, len(owners))

    def test_owners_are_in_the_region_with_most_instances(self):
        entries = [instance(f'n{n}') for n in range(4)]
        entries += [instance(f's{n}', region='south') for n in range(2)]
        owner = self.view(entries[4], entries).owners('s1')[0]
        self.assertTrue(owner.startswith('n'))

    @ddt.data((0.5, 1_000.0, True), (0.25, 100.0, False), (2.0, 5.0, False))
    @ddt.unpack
    def test_strong_machines_have_cores_and_a_fast_link(
        self, cores, mbps, expected
    ):
        self.assertEqual(expected, membership.is_strong(cores, mbps))

    def test_strong_instances_own_queues(self):
        entries = [instance(f'n{n}', strong=False) for n in range(4)]
        entries += [instance(f's{n}', region='south') for n in range(2)]
        for n in range(20):
            owner = self.view(entries[0], entries).owners(f's{n}')[0]
            self.assertTrue(owner.startswith('s'))

    def test_a_new_instance_owns_nothing_until_it_has_settled(self):
        entries = [instance('old'), instance('new', started=100_000)]
        subject = self.view(entries[1], entries)
        for n in range(20):
            self.assertEqual('old', subject.owners(f's{n}')[0])
        self.time.now_ms += membership.SETTLING_MS
        owners = {subject.owners(f's{n}')[0] for n in range(20)}
        self.assertEqual({'old', 'new'}, owners)

    @ddt.data(
        ('no start reported', [], 0, False),
        ('unchanged start reported', [0], 0, False),
        ('restarted', [100_000], 0, True),
        ('restarted, an old listing', [100_000], 0, True),
        ('restarted twice', [90_000, 100_000], 0, True),
        ('listed as well', [100_000], 100_000, True),
        ('a later start listed', [90_000], 100_000, True),
    )
    @ddt.unpack
    def test_a_restarted_instance_owns_nothing_until_it_has_settled(
        self, _, reported_starts, listed_start, is_new
    ):
        """The listing may still have the entry of the previous process."""
        entries = [instance('i0'), instance('i1')]
        subject = self.view(entries[0], entries)
        for started in reported_starts:
            subject.update_start_time('i1', started)
        subject.replace(
            [instance('i1', started=listed_start, renewal=listed_start)]
        )
        owners = {subject.owners(f's{n}')[0] for n in range(20)}
        self.assertEqual({'i0'} if is_new else {'i0', 'i1'}, owners)

    def test_a_later_start_time_is_new_once(self):
        entries = [instance('i0'), instance('i1', started=5)]
        subject = self.view(entries[0], entries)
        self.assertFalse(subject.update_start_time('i1', 5))
        self.assertTrue(subject.update_start_time('i1', 6))
        self.assertFalse(subject.update_start_time('i1', 6))
        self.assertFalse(subject.update_start_time('unknown', 6))

    def test_an_unreachable_instance_owns_nothing_until_it_is_reachable(self):
        entries = [instance('i0'), instance('i1')]
        subject = self.view(entries[0], entries)
        name = next(
            f's{n}' for n in range(99) if subject.owners(f's{n}')[0] == 'i1'
        )
        self.assertTrue(subject.mark_unreachable('i1'))
        self.assertFalse(subject.mark_unreachable('i1'))
        self.assertEqual(['i0'], subject.owners(name))
        subject.mark_reachable('i1')
        self.assertEqual('i1', subject.owners(name)[0])

    def test_a_leaving_instance_owns_only_as_the_last_resort(self):
        entries = [instance('i0'), instance('i1')]
        subject = self.view(entries[0], entries)
        subject.begin_leaving()
        for n in range(20):
            self.assertEqual(['i1', 'i0'], subject.owners(f's{n}'))

    def test_entries_expire_without_renewal(self):
        entries = [instance('i0'), instance('i1'), instance('i2')]
        subject = self.view(entries[0], entries)
        self.time.now_ms += membership.EXPIRY_MS
        subject.replace([instance('i1'), instance('i2', renewal=1)])
        self.assertEqual(['i1:expired'], subject.expire())
        self.assertEqual(2, subject.count())

    def test_no_entry_expires_while_the_store_is_unavailable(self):
        entries = [instance('i0'), instance('i1')]
        subject = self.view(entries[0], entries)
        self.time.now_ms += membership.EXPIRY_MS
        subject.renew_all()
        self.assertEqual([], subject.expire())


@ddt.ddt
class EventSplitterTest(base.TestCase):
    WHOLE = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n'

    @ddt.data(1, 2, 3, 7, 16, 1_000)
    def test_only_whole_events_are_passed_on(self, size):
        subject = events.EventSplitter()
        passed = []
        for start in range(0, len(self.WHOLE), size):
            passed.append(subject.feed(self.WHOLE[start : start + size]))
        self.assertEqual(self.WHOLE, b''.join(passed))
        for part in passed:
            self.assertTrue(not part or part.endswith(b'\n\n'))
        self.assertEqual('3', subject.last_event_id)

    def test_an_incomplete_event_is_dropped_before_a_resumption(self):
        subject = events.EventSplitter()
        subject.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual('1', subject.last_event_id)
        self.assertEqual(b'id: 2\nda', subject.drop_rest())
        self.assertEqual(
            b'id: 2\ndata: b\n\n', subject.feed(b'id: 2\ndata: b\n\n')
        )


@ddt.ddt
class RatesTest(base.TestCase):
    def test_a_rate_follows_arrivals_and_decays(self):
        rate = rates.DecayingRate(1_000.0)
        for now_ms in range(0, 10_000, 10):
            rate.add(1, now_ms)
        self.assertAlmostEqual(0.1, rate.per_ms(10_000), delta=0.01)
        self.assertLess(rate.per_ms(15_000), 0.001)

    def test_an_excess_decays(self):
        excess = rates.DecayingExcess(1_000.0, 0.5)
        for now_ms in range(0, 1_000, 100):
            excess.add(400.0, now_ms)
        self.assertGreater(excess.value_ms(1_000), 300)
        self.assertLess(excess.value_ms(6_000), 10)

    @ddt.data((6_000.0, 0), (4_500.0, 1_500), (None, 0))
    @ddt.unpack
    def test_a_later_attempt_has_less_time_left(self, left_ms, expected):
        elapsed = elapsed_times.ElapsedTimes()
        elapsed.elapsed_ms('r', 6_000.0)
        self.assertEqual(expected, elapsed.elapsed_ms('r', left_ms))
