#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/logger.h"
#include "telemetry/metrics_registry.h"
#include "telemetry/summary.h"

#include <cmath>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace snipespar::telemetry {

class telemetry_metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_metrics_test);
    CPPUNIT_TEST(exposition_has_help_type_and_labels);
    CPPUNIT_TEST(the_same_labels_give_the_same_metric);
    CPPUNIT_TEST(no_update_of_concurrent_threads_is_lost);
    CPPUNIT_TEST(percentiles_of_few_samples_are_exact);
    CPPUNIT_TEST(percentiles_of_many_samples_are_close);
    CPPUNIT_TEST(percentiles_follow_the_last_window);
    CPPUNIT_TEST(counters_line_sums_labels_and_omits_zeros);
    CPPUNIT_TEST_SUITE_END();

public:
    void exposition_has_help_type_and_labels()
    {
        metrics_registry registry;
        registry.make_gauge("snipespar_open", "Open now.").set(-2);
        registry.make_counter("snipespar_refused_total", "Refused.", {{"reason", "a\"b\\c\nd"}})
            .add(3);
        registry.make_summary("snipespar_wait_seconds", "Wait.").record(0.5);
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP snipespar_open Open now.\n"
                                         "# TYPE snipespar_open gauge\n"
                                         "snipespar_open -2\n"
                                         "# HELP snipespar_refused_total Refused.\n"
                                         "# TYPE snipespar_refused_total counter\n"
                                         "snipespar_refused_total{reason=\"a\\\"b\\\\c\\nd\"} 3\n"
                                         "# HELP snipespar_wait_seconds Wait.\n"
                                         "# TYPE snipespar_wait_seconds summary\n"
                                         "snipespar_wait_seconds{quantile=\"0.5\"} 0.5\n"
                                         "snipespar_wait_seconds{quantile=\"0.9\"} 0.5\n"
                                         "snipespar_wait_seconds{quantile=\"0.99\"} 0.5\n"
                                         "snipespar_wait_seconds_sum 0.5\n"
                                         "snipespar_wait_seconds_count 1\n"),
                             registry.exposition());
    }

    void the_same_labels_give_the_same_metric()
    {
        metrics_registry registry;
        auto& first = registry.make_counter("a_total", "A.", {{"x", "1"}, {"y", "2"}});
        auto& second = registry.make_counter("a_total", "A.", {{"y", "2"}, {"x", "1"}});
        auto& other = registry.make_counter("a_total", "A.", {{"x", "1"}, {"y", "3"}});
        CPPUNIT_ASSERT(&first == &second);
        CPPUNIT_ASSERT(&first != &other);
    }

    void no_update_of_concurrent_threads_is_lost()
    {
        constexpr std::uint64_t updates = 20000;
        metrics_registry registry;
        auto work = [&] {
            auto& events = registry.make_counter("events_total", "Events.");
            auto& waits = registry.make_summary("wait_seconds", "Wait.");
            for (std::uint64_t i = 0; i < updates; ++i) {
                events.add();
                waits.record(1.0);
            }
        };
        std::thread other(work);
        work();
        other.join();
        CPPUNIT_ASSERT_EQUAL(2 * updates, registry.make_counter("events_total", "Events.").value());
        CPPUNIT_ASSERT_EQUAL(2 * updates, registry.make_summary("wait_seconds", "").read().count);
    }

    void percentiles_of_few_samples_are_exact()
    {
        summary waits;
        CPPUNIT_ASSERT(summary::report{} == waits.read());
        for (int value = 10; value >= 1; --value) {
            waits.record(value);
        }
        const auto report = waits.read();
        CPPUNIT_ASSERT_EQUAL(5.0, report.quantiles[0]);
        CPPUNIT_ASSERT_EQUAL(9.0, report.quantiles[1]);
        CPPUNIT_ASSERT_EQUAL(10.0, report.quantiles[2]);
        CPPUNIT_ASSERT_EQUAL(10.0, report.max);
    }

    void percentiles_of_many_samples_are_close()
    {
        constexpr unsigned seed = 1;
        std::mt19937 engine(seed);
        std::exponential_distribution<double> waits_of(1.0);
        summary waits;
        for (int i = 0; i < 50000; ++i) {
            waits.record(waits_of(engine));
        }
        const auto report = waits.read();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(2.0), report.quantiles[0], 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(10.0), report.quantiles[1], 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(100.0), report.quantiles[2], 0.2);
    }

    void percentiles_follow_the_last_window()
    {
        summary waits;
        waits.record(100);
        waits.rotate();
        waits.record(1);
        CPPUNIT_ASSERT_EQUAL(100.0, waits.read().quantiles[0]);
        waits.rotate();
        CPPUNIT_ASSERT_EQUAL(1.0, waits.read().quantiles[0]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, waits.read().count);
        CPPUNIT_ASSERT_EQUAL(101.0, waits.read().sum);
    }

    void counters_line_sums_labels_and_omits_zeros()
    {
        std::string lines;
        const logger log([&](std::string_view line) { lines += line; });
        metrics_registry registry;
        registry.make_counter("refused_total", "R.", {{"reason", "a"}}).add(1);
        registry.make_counter("refused_total", "R.", {{"reason", "b"}}).add(2);
        registry.make_counter("idle_total", "I.");
        registry.report(log);
        CPPUNIT_ASSERT(lines.ends_with("event=counters refused_total=3\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_metrics_test);

} // namespace snipespar::telemetry
