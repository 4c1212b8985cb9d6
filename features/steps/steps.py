"""Steps of both stories."""

from behave import given, then, when
from fleet import RunningFleet

from acaciacove.exit_status import ExitStatus


@given("the swimhole fleet is running")
def start_fleet(context):
    context.fleet = RunningFleet()
    context.runner.run(context.fleet.start())


def ask(context, *args, **kwargs):
    answer = context.runner.run(context.fleet.ask(*args, **kwargs))
    context.answers.append(answer)


@when('"{organisation}" asks "{model}" a question')
def ask_once(context, organisation, model):
    ask(context, organisation, model)


@when('"{organisation}" asks "{model}" a question and streams the answer')
def ask_for_stream(context, organisation, model):
    ask(context, organisation, model, stream=True)


@when('a stranger asks "{model}" a question')
def ask_as_stranger(context, model):
    ask(context, "", model)


@when('{count:d} questions are asked of "{model}"')
def ask_often(context, count, model):
    context.answers.clear()
    for number in range(count):
        ask(context, "ozark-float-outfitters", model, entry=number % 2)


@when('"{organisation}" books shuttle "{reference}" without a key')
def book_without_key(context, organisation, reference):
    book(context, organisation, reference, "")


@when('"{organisation}" books shuttle "{reference}" with key "{key}"')
def book(context, organisation, reference, key):
    booking = context.fleet.book(organisation, reference, key)
    context.answers.append(context.runner.run(booking))


@when(
    '"{organisation}" books shuttle "{reference}" with key "{key}" '
    "through another entry"
)
def book_elsewhere(context, organisation, reference, key):
    booking = context.fleet.book(organisation, reference, key, entry=1)
    context.answers.append(context.runner.run(booking))


@when("{count:d} shuttles are booked")
def book_often(context, count):
    context.answers.clear()
    for number in range(count):
        book(context, "broad-river-guides", f"s-{number}", f"k-{number}")


@when('the operator runs "{command}"')
def operate(context, command):
    operating = context.fleet.operate(command.split())
    context.status, context.output = context.runner.run(operating)


@when("the operator publishes")
def publish(context):
    operating = context.fleet.operate(["release", "publish", "-"], context.text)
    context.status, context.output = context.runner.run(operating)


@then("the answer is whole and its own")
def is_whole(context):
    answer = context.answers[-1]
    assert answer.status == 200, answer.body
    request_id = answer.headers["x-request-id"]
    assert answer.document["id"] == f"chatcmpl-{request_id}"
    assert answer.document["choices"][0]["finish_reason"] == "stop"


@then("both answers are the same")
def are_the_same(context):
    first, second = context.answers
    assert first.status == second.status == 200, second.body
    assert first.body == second.body


@then('a version of "{model}" has answered')
def has_answered_for(context, model):
    assert context.answers[-1].headers["x-version"].startswith(model)


@then('"{version}" has answered')
def has_answered(context, version):
    answer = context.answers[-1]
    assert answer.status == 200, answer.body
    assert answer.headers["x-version"] == version, answer.headers


@then('only "{version}" has answered')
def only_has_answered(context, version):
    assert context.answers
    for answer in context.answers:
        assert answer.status == 200, answer.body
        assert answer.headers["x-version"] == version


@then("the stream ends as a whole one does")
def stream_is_whole(context):
    answer = context.answers[-1]
    assert answer.status == 200, answer.body
    assert answer.body.count(b"data: ") == 4 + 2
    assert answer.body.endswith(b"data: [DONE]\n\n")


@then('the request is refused as "{reason}" and has not run')
def is_refused(context, reason):
    problem = context.answers[-1].document
    assert problem.get("reason") == reason, problem
    assert problem["not_run"] is True


@then('no endpoint in "{zone}" has answered')
def zone_is_quiet(context, zone):
    assert context.answers
    for answer in context.answers:
        assert answer.status == 200, answer.body
        assert context.fleet.zone_of(answer.headers["x-endpoint"]) != zone


@then('"{endpoint}" has not answered')
def endpoint_is_quiet(context, endpoint):
    assert context.answers
    for answer in context.answers:
        assert answer.status == 200, answer.body
        assert answer.headers["x-endpoint"] != endpoint


@then('shuttle "{reference}" is booked {count:d} times')
def is_booked(context, reference, count):
    found = context.fleet.effects(reference)
    assert found == count, (found, context.answers[-1])


@then("{count:d} bookings have taken effect")
def have_taken_effect(context, count):
    services = context.fleet.local.platform.services.values()
    assert sum(service.effects for service in services) == count


@then("the command has ended with {name}")
def has_ended(context, name):
    assert context.status is ExitStatus[name], context.output


@then('it said "{text}"')
def has_said(context, text):
    assert text in context.output, context.output
