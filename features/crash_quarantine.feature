Feature: Requests and parts of prompts that crash endpoints are held back

  No scenario needs a network; routers, members and runners run in virtual time.

  Scenario Outline: Requests with a part that crashes runners are held back
    Load: <crashing> requests a second at all routers have a part on which each
    runner crashes, <sound> have none; the part is the <place> one of its
    prompts. Guards against one kind of request that ends runner after
    runner, and against sound requests that are refused with it.
    Given <routers> routers, 5 members and <runners> runners that crash on a part
    When <crashing> requests a second with it as <place> part and <sound> others come for 40 s
    Then at most 3 are sent later than 3.0 s after the fifth crash
    And no sound request is refused later than 3.0 s after the fifth crash
    And no router receives more than 9000 bytes a second for it

    Examples:
      | routers | runners | crashing | sound | place  |
      | 1       | 3       | 1        | 10    | second |
      | 9       | 9       | 1        | 40    | second |
      | 9       | 9       | 5        | 40    | second |
      | 9       | 9       | 5        | 40    | first  |
      | 9       | 9       | 0.2      | 40    | second |
      | 195     | 59      | 5        | 190   | second |
      | 195     | 59      | 20       | 190   | second |
      | 195     | 59      | 5        | 190   | first  |

  Scenario Outline: A part whose requests get no answer at all before the crash
    Load: as above, but callers see no byte of the answer. Guards against a part
    that is taken for sound since only others had an answer.
    Given <routers> routers, 5 members and <runners> runners that crash on a part
    And the crashing requests get no byte of an answer
    When 5 requests a second with it as second part and <sound> others come for 40 s
    Then at most 3 are sent later than 3.0 s after the fifth crash
    And no sound request is refused later than 3.0 s after the fifth crash

    Examples:
      | routers | runners | sound |
      | 9       | 9       | 0.5   |
      | 9       | 9       | 40    |
      | 1       | 3       | 80    |

  Scenario Outline: One request that comes again crashes three endpoints, no more
    Load: one request comes again <crashing> times a second at any router, is sent
    once more after a crash and gets no byte of an answer; <sound> others come,
    <prompts> prompts. Guards against a request that ends server after server, and
    against sound requests that are refused with it.
    Given <routers> routers, 5 members and <runners> runners that crash on a part
    When 1 crashing request comes <crashing> times a second, and <sound> others, <prompts> prompts, for <seconds> s
    Then at most 3 are sent later than 3.0 s after the third crash
    And no sound request is refused later than 3.0 s after the third crash
    And no router receives more than 9000 bytes a second for it

    Examples:
      | routers | runners | crashing | sound | prompts | seconds |
      | 1       | 3       | 1        | 10    | without | 40      |
      | 9       | 3       | 1        | 10    | without | 40      |
      | 9       | 3       | 5        | 40    | without | 40      |
      | 9       | 9       | 5        | 40    | with    | 40      |
      | 9       | 9       | 0.2      | 40    | with    | 90      |
      | 9       | 9       | 0.02     | 10    | without | 400     |
      | 9       | 9       | 5        | 40    | with    | 300     |
      | 195     | 59      | 5        | 190   | with    | 40      |
      | 195     | 59      | 20       | 190   | with    | 40      |
      | 195     | 59      | 20       | 190   | without | 100     |

  Scenario Outline: Several such requests come at once
    Guards against a request that is not found since others crash endpoints too.
    Given 9 routers, 5 members and 20 runners that crash on a part
    When <copies> crashing requests come <rate> times a second, and 40 others, <prompts> prompts, for 60 s
    Then at most 3 of each are sent later than 3.0 s after its third crash

    Examples:
      | copies | rate | prompts |
      | 2      | 5    | with    |
      | 4      | 5    | with    |
      | 4      | 1    | without |
      | 8      | 2    | with    |

  Scenario: Many requests with one part, each sent several times, are one cause
    Guards against each request that is held back in turn, while the part that
    they share goes on to end runners.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When 5 requests a second with it as second part are sent up to 4 times each, and 40 others, for 40 s
    Then at most 3 are sent later than 3.0 s after the fifth crash
    And no sound request is refused later than 3.0 s after the fifth crash

  Scenario: A sound request that broke off several times is served again
    Runners fail for another reason. Guards against a request that stays refused
    although it is sound.
    Given a router that holds a request back
    When a copy of it is answered after the hold
    Then the router does not hold it back, also after one more crash

  Scenario: A part that was sound for long begins to crash runners
    Load: new weights make one part crash runners that answered it before.
    Guards against a part that earlier answers protect for ever.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When requests with it are answered for 10 s
    And 5 requests a second with it as second part and 40 others come for 20 s
    Then at most 3 are sent later than 3.0 s after the fifth crash

  Scenario Outline: Runners that fail for another reason hold no part back
    Load: <how>, while 100 requests a second share 4 first parts. Guards against
    sound requests that are refused since their runners lost power.
    Given 9 routers, 5 members and 20 runners that crash on a part
    When runners fail, <count> each <pause> s, while 100 sound requests a second come for 40 s
    Then no sound request is refused

    Examples:
      | how                              | count | pause |
      | one runner fails each second     | 1     | 1.0   |
      | three runners fail at a time     | 3     | 4.0   |
      | fifteen runners fail at a time   | 15    | 8.0   |

  Scenario Outline: A new part is under way at runners that fail at one moment
    Guards against a part that is held back since its first requests were under
    way when the power failed, and against a part whose requests end all runners
    at once.
    Given a member that is told of <runners> crashes within 0.1 s
    And at <shared> of them a request with a new part had an answer
    Then the member <does> the part back

    Examples:
      | runners | shared | does          |
      | 20      | 10     | does not hold |
      | 6       | 6      | holds         |

  Scenario Outline: Parts stay held back while processes restart
    Guards against a part that crashes runners again since the processes that
    knew it are gone.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When 5 requests a second with it as second part and 40 others come for 10 s
    And <what>
    And 5 requests a second with it as second part and 40 others come for 20 s
    Then at most 3 are sent later than 3.0 s after the fifth crash

    Examples:
      | what                       |
      | member 1 stops for good     |
      | all members restart        |
      | the routers restart in turn |

  Scenario Outline: A request stays held back while members restart
    Guards against a request that crashes endpoints again since the processes that
    knew it are gone.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When 1 crashing request comes 5 times a second, and 40 others, with prompts, for 10 s
    And <what>
    And 1 crashing request comes 5 times a second, and 40 others, with prompts, for 20 s
    Then at most 3 are sent later than 3.0 s after the third crash

    Examples:
      | what                    |
      | member 1 stops for good |
      | all members restart     |

  Scenario: A request is tried again after its last crash, and then forgotten
    Guards against a table that keeps each request that ever crashed endpoints.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When 1 crashing request comes 5 times a second, and 40 others, without prompts, for 70 s
    And 40 sound requests a second come for 1000 s
    Then at most 3 are sent later than 3.0 s after the third crash
    And no process remembers a crash

  Scenario: A part is sent again some time after its last crash
    Guards against a part that is refused for ever, and against a fleet that
    tries it at all routers at once.
    Given 9 routers, 5 members and 9 runners that crash on a part
    When 5 requests a second with it as second part and 40 others come for 10 s
    And 5 requests a second with it as second part and 40 others come for 70 s
    Then at most 3 are sent later than 3.0 s after the fifth crash
    When 40 sound requests a second come for 900 s
    Then no router holds the part back
    And no process remembers a crash

  Scenario: A watched part is watched no more once it is answered
    Load: parts that many requests share are under way at each crash. Guards
    against routers that report their answers for long after the crashes.
    Given a member that watches part "a" since two crashes
    When a request with part "a" was answered before them
    Then the member watches part "a"
    When a request with part "a" is answered after them
    Then the member does not watch part "a"

  Scenario: A part that is held back by mistake is released by an answer
    Guards against sound requests that are refused although others with the same
    part are answered.
    Given a router that holds part "a" back
    When an answer to a request with part "a" goes on
    Then the router does not hold part "a" back

  Scenario: A router remembers a bounded number of requests
    Guards against a table that grows with each request that is answered or breaks.
    Given a router at which 5000 requests are answered and 5000 others break off
    Then it remembers at most 1024 of each kind
    And its report has at most 32 crashes of at most 128 parts

  Scenario Outline: What is remembered is bounded
    Guards against tables that grow with crashes, parts or answers.
    Given a member that is told of <count> crashes with parts of their own
    And of as many parts that are held back, and as many that are sound
    Then it remembers at most 64 crashes, 32 held and 4096 sound parts
    And its messages have at most 32 entries of a kind

    Examples:
      | count |
      | 10000 |
