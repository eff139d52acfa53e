"""Steps for the journal files."""

import copy
import errno
import io
import itertools
import json
import os
import random
import shutil
import tempfile

import anyio
import attrs
from behave import given, then, when

from bench.virtual_group import Disk
from knapweedarch import control
from knapweedarch.exceptions import JournalError, JournalFullError
from knapweedarch.founding import Founding
from knapweedarch.journal import HEADER, open_journal
from knapweedarch.journal_files import JournalFiles
from knapweedarch.logs import setup_logging
from knapweedarch.member import create_member, open_member
from knapweedarch.metrics import create_metrics
from knapweedarch.replica import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Output,
    ReplicaConfig,
    Snapshot,
    VoteReply,
    VoteRequest,
    create_replica,
)
from knapweedarch.settings import Address, MemberSettings
from knapweedarch.timers import Clock, ManualClock

OPENING_LIMIT_S = 10.0


def make_operation_fail(files, operation, code, after=0):
    """Makes a file operation fail; a failed write stores half of the data.

    The first `after` calls succeed, and each such number after a failure.
    """
    original = getattr(files, operation)
    calls = itertools.count(1)

    def failing(*args):
        if next(calls) % (after + 1):
            return original(*args)
        if operation == "write_all":
            original(args[0], args[1][: len(args[1]) // 2])
        raise OSError(code, os.strerror(code))

    setattr(files, operation, failing)


class JournalAndModel:
    """A journal and an in-memory model that saves the same outputs.

    Attributes:
        before: Contents that the model had before the last save.
    """

    def __init__(self, folder, seed, files_class=JournalFiles):
        self.folder, self.random = folder, random.Random(seed)
        self.files_class = files_class
        self.open()
        self.model = Disk(self.journal.identity)
        self.before = self.model.restored()

    def open(self):
        """Opens the journal of the folder."""
        self.files = self.files_class(self.folder)
        self.files.random = self.random
        self.files.random_bytes = self.random.randbytes
        self.journal = open_journal(self.folder, self.files)

    def output(self, snapshot=False):
        """Generates a random output that a replica could return."""
        rng, model = self.random, self.model
        base = model.snapshot.index if model.snapshot else 0
        last = base + len(model.entries)
        term = model.hard_state.term + rng.randrange(2)
        cut = None
        if last > base and rng.random() < 0.2:
            cut = rng.randint(base + 1, last)
        first = cut or last + 1
        entries = tuple(
            Entry(i, term, EntryKind.DATA, rng.randbytes(rng.randrange(40)))
            for i in range(first, first + 3)
        )
        state = HardState(term, rng.choice(("", "x")))
        if not snapshot or last == base:
            return Output(state, truncate_from=cut, entries=entries)
        index = rng.randint(base + 1, last)
        kept = tuple(e for e in model.entries if e.index > index)
        taken = Snapshot(index, term, (), rng.randbytes(2000))
        return Output(state, compacted=taken, tail=kept)

    def reopen_after(self, output):
        """Restarts while an output is saved, which may be lost or not."""
        self.journal.close()
        self.open()
        restored = self.journal.restored
        if restored != self.model.restored():
            self.model.save(self.without_lost_snapshot(output))
            assert restored == self.model.restored()

    def save(self, output):
        """Saves an output to the journal and the model."""
        self.before = self.model.restored()
        self.journal.save(output)
        self.model.save(self.without_lost_snapshot(output))

    def without_lost_snapshot(self, output):
        """Returns the output as saved, without a snapshot left for later."""
        taken = output.compacted
        if taken is None or self.files.matching(f"snapshot-{taken.index}-"):
            return output
        return attrs.evolve(output, compacted=None, tail=())


def temporary_folder(context):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    return folder


@given("a journal with {count:d} random saves and an in-memory model")
def random_journal(context, count):
    context.pair = JournalAndModel(temporary_folder(context), 1)
    for number in range(count):
        context.pair.save(context.pair.output(snapshot=number == count // 2))


def log_path(pair):
    return pair.files.folder / pair.files.matching("log-")[-1]


def frame_offsets(data):
    offsets = [0]
    while offsets[-1] < len(data):
        size = HEADER.unpack_from(data, offsets[-1])[2]
        offsets.append(offsets[-1] + HEADER.size + size)
    return offsets


def check_opens_with(pair, restored):
    journal = open_journal(pair.folder)
    assert journal.restored == restored
    journal.close()


@when("the last record is {damage}")
def damage_last_record(context, damage):
    pair = context.pair
    pair.journal.close()
    path = log_path(pair)
    data = path.read_bytes()
    start = frame_offsets(data)[-2]
    if damage == "followed by zeros":
        path.write_bytes(data + bytes(4096))
        # The last record is intact, so no save is lost.
        pair.before = pair.model.restored()
    elif damage == "overwritten by zeros":
        path.write_bytes(data[:start] + bytes(len(data) - start))
    for end in range(start, len(data)) if "cut" in damage else ():
        log_path(pair).write_bytes(data[:end])
        check_opens_with(pair, pair.before)


@when("the last record holds a copy of an earlier record and is torn")
def save_embedded_record(context):
    pair = context.pair
    # The other journal has another identity and so another checksum seed.
    other = JournalAndModel(temporary_folder(context), 2)
    other.save(other.output())
    copy = log_path(other).read_bytes()
    last = pair.model.restored().entries[-1].index + 1
    entry = Entry(last, 9, EntryKind.DATA, copy + bytes(9))
    pair.save(Output(entries=(entry,)))
    pair.journal.close()
    log_path(pair).write_bytes(log_path(pair).read_bytes()[:-1])


@then("the journal opens with all but the last save")
def opens_without_last_save(context):
    context.pair.journal.close()
    check_opens_with(context.pair, context.pair.before)


@then("{count:d} random journals match their models after every restart")
def journals_agree(context, count):
    for seed in range(count):
        pair = JournalAndModel(temporary_folder(context), seed)
        for number in range(12):
            pair.save(pair.output(number > 2 and pair.random.random() < 0.3))
            if pair.random.random() < 0.4:
                pair.journal.close()
                pair.open()
                restored = pair.journal.restored
                assert restored == pair.model.restored(), f"seed {seed}"
        pair.journal.close()


def flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x10
    path.write_bytes(data)


@when("a middle record is corrupt")
def middle_corrupt(context):
    path = log_path(context.pair)
    flip_bit(path, frame_offsets(path.read_bytes())[3] + HEADER.size + 2)


@when("the first record is corrupt")
def first_corrupt(context):
    flip_bit(log_path(context.pair), HEADER.size + 2)


@when("the journal's file {name} is corrupt")
def file_corrupt(context, name):
    files = context.pair.files
    flip_bit(files.folder / files.matching(name)[0], -1)


@when("the journal's file {name} is missing")
def file_missing(context, name):
    files = context.pair.files
    files.remove(files.matching(name)[0])


@when("another process has the journal open")
def journal_in_use(context):
    context.in_use = True


@then('opening the journal fails with "{reason}"')
def opening_fails(context, reason):
    if "in_use" not in context:
        context.pair.journal.close()
    try:
        open_journal(context.pair.folder)
    except JournalError as exc:
        assert reason in str(exc), exc
    else:
        raise AssertionError("the journal opened")


@when("the operation {operation} fails with {error} while {what} is saved")
def inject_failure(context, operation, error, what):
    pair = context.pair
    context.operation = operation
    after = int("the log after" in what)
    make_operation_fail(pair.files, operation, getattr(errno, error), after)
    context.last = last = pair.output(snapshot=what != "an entry")
    if "received" in what:
        context.last = attrs.evolve(
            last, compacted=None, snapshot=last.compacted
        )


@then("the save fails and so does every later one")
def save_fails(context):
    pair = context.pair
    for _ in range(2):
        try:
            pair.save(context.last)
        except JournalError:
            # The second save must fail although the operation works again.
            pair.files.__dict__.pop(context.operation, None)
        else:
            raise AssertionError("the save succeeded")


@then("the save fails twice as the disk is full and leaves no file behind")
def save_finds_disk_full(context):
    pair = context.pair
    before = pair.files.names()
    for _ in range(2):
        try:
            pair.journal.save(context.last)
        except JournalFullError:
            assert pair.files.names() == before, pair.files.names()
        else:
            raise AssertionError("the save succeeded")


@then("after a crash the journal opens with the last save or without it")
def opens_after_crash(context):
    pair = context.pair
    folder = f"{temporary_folder(context)}/copy"
    shutil.copytree(pair.folder, folder)
    check_opens_after(folder, pair.model, context.last)


def check_opens_after(folder, model, output):
    """Checks that a journal holds the model, with the output or without it.

    Of the output, a snapshot of the member's own state may be left out.
    """
    after, partly = copy.deepcopy(model), copy.deepcopy(model)
    after.save(output)
    if output.compacted is not None:
        partly.save(attrs.evolve(output, compacted=None, tail=()))
    journal = open_journal(folder)
    assert journal.restored in [
        disk.restored() for disk in (model, partly, after)
    ]
    journal.close()


@then("the same save succeeds once there is space, and {count:d} more do")
def save_succeeds(context, count):
    pair = context.pair
    del pair.files.__dict__[context.operation]
    pair.save(context.last)
    for number in range(count):
        pair.save(pair.output(snapshot=number == count // 2))


@then("the save succeeds without the snapshot and leaves no file behind")
def save_without_snapshot(context):
    setup_logging("error", io.StringIO())
    pair = context.pair
    before = pair.files.names()
    pair.save(context.last)
    assert pair.files.names() == before, pair.files.names()
    del pair.files.__dict__[context.operation]


@then("a snapshot alone is left out on a full disk")
def snapshot_alone(context):
    pair = context.pair
    make_operation_fail(pair.files, "write_all", errno.ENOSPC)
    output = pair.output(snapshot=True)
    index = output.compacted.index
    tail = tuple(e for e in pair.model.entries if e.index > index)
    pair.save(Output(compacted=output.compacted, tail=tail))
    del pair.files.write_all


@then("{count:d} more saves succeed once there is space, with a snapshot")
def more_saves(context, count):
    pair = context.pair
    for number in range(count):
        pair.save(pair.output(snapshot=number == count // 2))
    snapshot = pair.model.snapshot
    assert pair.files.matching(f"snapshot-{snapshot.index}-{snapshot.term}")


@then("the journal opens with all saves")
def opens_with_all_saves(context):
    context.pair.journal.close()
    check_opens_with(context.pair, context.pair.model.restored())


@then("the next save writes the log to a new file and syncs it")
def log_is_rewritten_while_open(context):
    pair = context.pair
    save_finds_disk_full(context)
    old = log_path(pair)
    save_succeeds(context, 0)
    assert log_path(pair) != old and not old.exists()
    opens_with_all_saves(context)


class FullNowAndThen(JournalFiles):
    """Files on a disk that is full at random operations.

    Attributes:
        random: Source of randomness.
        share: Share of the operations that find the disk full.
    """

    share = 0.0

    def _maybe_full(self):
        if self.random.random() < self.share:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def write_all(self, descriptor, data):
        """Writes all data, or a part before the disk is full."""
        try:
            self._maybe_full()
        except OSError:
            part = self.random.randrange(len(data))
            super().write_all(descriptor, data[:part])
            raise
        super().write_all(descriptor, data)

    def sync(self, descriptor):
        """Syncs a file, or finds the disk full."""
        self._maybe_full()
        super().sync(descriptor)

    def rename(self, old, new):
        """Renames a file, or finds the disk full."""
        self._maybe_full()
        super().rename(old, new)

    def remove(self, name):
        """Removes a file, or finds the disk full."""
        self._maybe_full()
        super().remove(name)

    def cut_log(self, size):
        """Cuts the log file, or finds the disk full."""
        self._maybe_full()
        super().cut_log(size)


@then(
    "{count:d} random journals on such disks match their models after restarts"
)
def full_journals_agree(context, count):
    setup_logging("error", io.StringIO())
    for seed in range(count):
        pair = JournalAndModel(temporary_folder(context), seed, FullNowAndThen)
        for number in range(12):
            pair.files.share = pair.random.choice((0.0, 0.3, 0.6))
            output = pair.output(number > 2 and pair.random.random() < 0.3)
            if not save_until_killed(pair, output):
                pair.files.share = 0.0
                pair.reopen_after(output)
        pair.journal.close()
        check_opens_with(pair, pair.model.restored())


def save_until_killed(pair, output):
    """Saves again until there is space; returns whether the process lives."""
    while pair.random.random() < 0.9:
        try:
            pair.save(output)
        except JournalFullError:
            continue
        return True
    return False


@then("the journal opens with the last save or without it")
def opens_with_or_without_last_save(context):
    pair = context.pair
    pair.journal.close()
    journal = open_journal(pair.folder)
    pair.model.save(context.last)
    assert journal.restored in (pair.before, pair.model.restored())
    journal.close()


@then("the next start writes the log to a new file and syncs it")
def log_is_rewritten(context):
    pair = context.pair
    save_fails(context)
    old = log_path(pair)
    pair.journal.close()
    journal = open_journal(pair.folder)
    assert not old.exists()
    # The record was written and only its sync failed, so it may be restored.
    assert journal.restored.entries[-1] == context.last.entries[-1]
    journal.close()


@given("a journal with {count:d} changes and a snapshot after every {each:d}")
def save_many_changes(context, count, each):
    context.pair = pair = JournalAndModel(temporary_folder(context), 3)
    for number in range(1, count + 1):
        pair.save(pair.output(snapshot=number % each == 0))


@then("the folder holds {files:d} files and less than {size:d} bytes")
def folder_size(context, files, size):
    names = context.pair.files.names()
    paths = [context.pair.files.folder / name for name in names]
    assert len(names) == files, names
    assert sum(p.stat().st_size for p in paths) < size
    context.pair.journal.close()


@then("forming a group is refused")
def forming_refused(context):
    try:
        context.pair.journal.form(())
    except JournalError as exc:
        assert "not blank" in str(exc)
    else:
        raise AssertionError("the journal formed a second group")


def run_group(context, data, seconds=3.0):
    """Runs replicas on their journals; returns the data each one applied."""
    replicas = {
        name: create_replica(ReplicaConfig(name), j.restored, seed)
        for seed, (name, j) in enumerate(context.journals.items())
    }
    applied = {name: [] for name in replicas}
    for step in range(int(seconds / 0.02)):
        now, in_flight = step * 0.02, []
        for name, replica in replicas.items():
            replica.tick(now)
            if data and replica.leads_until(now):
                replica.propose(data.pop(), now)
            output = replica.take_output()
            context.journals[name].save(output)
            in_flight += [(name, *m) for m in output.messages]
            applied[name] += [e.data for e in output.committed if e.data]
        for sender, receiver, message in in_flight:
            replicas[receiver].receive(sender, message, now)
    return applied


@given("a blank member in term {term:d} whose disk is full")
def blank_member(context, term):
    settings = member_settings("a", temporary_folder(context))
    metrics = create_metrics(None, 0, "a")
    context.member = create_member(settings, ManualClock(0.0), metrics)
    context.add_cleanup(context.member._journal.close)
    if term:
        context.member._journal.save(Output(HardState(term)))
    files = context.member._journal._files
    context.write_all = files.write_all
    make_operation_fail(files, "write_all", errno.ENOSPC)


@when("it is asked to form a group, again once the disk has space")
def form_on_full_disk(context):
    member = context.member
    identity = member._journal.identity
    form = control.Form((control.FormMember("a", identity, "127.0.0.1", 1),))
    context.replies = [anyio.run(member._handle, None, form)]
    member._journal._files.write_all = context.write_all
    context.replies.append(anyio.run(member._handle, None, form))


@then("it refuses first and is formed then")
def check_formed_later(context):
    refused, formed = context.replies
    assert "the disk is full" in refused.message, refused
    assert formed == control.Formed(), formed
    assert context.member._journal.restored.entries


@given("three blank journals that form a group")
def form_group(context):
    context.folders = {n: temporary_folder(context) for n in "abc"}
    open_all(context)
    members = tuple(
        Member(n, j.identity, "127.0.0.1", 1, True)
        for n, j in context.journals.items()
    )
    for journal in context.journals.values():
        journal.form(members)


def open_all(context):
    context.journals = {}
    for seed, (name, folder) in enumerate(context.folders.items()):
        files = JournalFiles(folder)
        files.random_bytes = random.Random(seed).randbytes
        context.journals[name] = open_journal(folder, files)


@when("an entry is committed and all members restart")
def commit_and_restart(context):
    run_group(context, [b"kept"])
    for journal in context.journals.values():
        journal.close()
    open_all(context)


@then("all members hold the entry again")
def entry_kept(context):
    applied = run_group(context, [])
    for journal in context.journals.values():
        journal.close()
    assert all(b"kept" in data for data in applied.values()), applied


class Killed(Exception):
    """The process was killed at a file operation."""


class KilledFiles(JournalFiles):
    """Raises `Killed` at one operation, half of whose write is done.

    Attributes:
        left: Operations until the kill.
    """

    left = 0

    def _count(self):
        self.left -= 1
        if not self.left:
            raise Killed

    def write_all(self, descriptor, data):
        """Writes all bytes, or half of them."""
        if self.left == 1:
            super().write_all(descriptor, data[: len(data) // 2])
        self._count()
        super().write_all(descriptor, data)

    def sync(self, descriptor):
        """Syncs a file."""
        self._count()
        super().sync(descriptor)

    def rename(self, old, new):
        """Renames a file."""
        self._count()
        super().rename(old, new)

    def sync_folder(self):
        """Syncs the folder."""
        self._count()
        super().sync_folder()


@given("an empty folder in which a member is told to form the group")
def founding_member(context):
    context.founding = Founding(("127.0.0.1:1", "127.0.0.1:2"))


@when("the process is killed at each operation of its first start")
def kill_at_each_operation(context):
    context.after_kill = []
    for operation in itertools.count(1):
        files = KilledFiles(temporary_folder(context))
        files.left = operation
        try:
            open_journal("", files, context.founding).close()
        except Killed:
            files.close()
        else:
            break
        names = files.names()
        journal = open_journal(str(files.folder))
        context.after_kill.append((names, journal.founding))
        journal.close()


@then("it still knows the seeds, or nothing was written")
def check_founding_kept(context):
    assert len(context.after_kill) == 8, context.after_kill
    lost = [names for names, kept in context.after_kill if kept is None]
    assert all(names <= {"lock", "founding.tmp"} for names in lost), lost
    assert len(lost) == 3, lost
    known = [kept for _, kept in context.after_kill if kept is not None]
    assert known == [context.founding] * 5, known


@given("the disk is full for the first {count:d} write attempts")
def fill_disk_for(context, count):
    context.pair.journal.close()
    context.attempts = 0
    original = JournalFiles.write_all

    def write_all(files, descriptor, data):
        context.attempts += 1
        if context.attempts <= count:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        original(files, descriptor, data)

    JournalFiles.write_all = write_all
    context.add_cleanup(setattr, JournalFiles, "write_all", original)


@when("a member opens the journal")
def member_opens(context):
    settings = member_settings("m", context.pair.folder)
    context.log_lines = io.StringIO()
    setup_logging("info", context.log_lines)

    async def run():
        with anyio.fail_after(OPENING_LIMIT_S):
            return await open_member(
                settings, Clock(), create_metrics(None, 0, "m")
            )

    context.member = anyio.run(run)


@then("it opened at the third attempt with all saved entries")
def opened_with_saved_state(context):
    assert context.attempts == 3, context.attempts
    journal = context.member._journal
    assert journal.restored == context.pair.model.restored()
    journal.close()


@then("the log reports once that the disk is full")
def logged_once(context):
    lines = context.log_lines.getvalue().splitlines()
    names = [json.loads(line)["event_name"] for line in lines]
    assert names == ["journal_full"], names


def member_settings(name, folder):
    return MemberSettings(
        name=name,
        data_centre="z",
        credential="c",
        members=(),
        listen=Address("127.0.0.1", 0),
        data_folder=folder,
    )


@when("a member is created {age:f} s after its process started")
def member_created(context, age):
    context.journals["a"].close()
    clock = ManualClock(100.0)
    context.member = create_member(
        *(member_settings("a", context.folders["a"]), clock),
        *(create_metrics(None, 0, "a"), clock.now() - age),
    )
    replica = context.member._replica
    replica.take_output()
    replica.receive(
        "b",
        VoteRequest(
            identity=context.journals["b"].identity,
            term=replica.term + 1,
            last_index=replica.last_index,
            last_term=replica.term,
            pre=True,
        ),
        clock.now(),
    )
    context.granted = [
        message.granted
        for _, message in replica.take_output().messages
        if isinstance(message, VoteReply)
    ]


@then("it votes for another candidate at once")
def votes(context):
    assert context.granted == [True], context.granted


@then("it does not vote for another candidate at once")
def does_not_vote(context):
    assert context.granted == [False], context.granted
